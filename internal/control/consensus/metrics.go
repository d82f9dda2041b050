package consensus

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"umberwinch/internal/wal"
)

// metricPrefix is the prefix of every metric's name.
const metricPrefix = "umberwinch_control_"

// durationBuckets range from 0.1 ms to 6.6 s: a sync on a fast disk to more than requestTimeout.
var durationBuckets = prometheus.ExponentialBuckets(0.0001, 2, 17)

// metrics are the instance's Prometheus metrics. Gauges and counters are sampled from the view and the transport at
// collection; durations and outcomes are recorded as they occur.
type metrics struct {
	group       *Group
	registry    *prometheus.Registry
	putSeconds  prometheus.Histogram
	syncSeconds prometheus.Histogram
	outcomes    *prometheus.CounterVec
	sampled     []sampledMetric
}

// sampledMetric is a metric whose value is read at collection.
type sampledMetric struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(*View, *Group) float64
}

func newMetrics(g *Group) *metrics {
	m := &metrics{
		group:    g,
		registry: prometheus.NewRegistry(),
		putSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: metricPrefix + "put_seconds",
			Help: "From a put's asking to its end, at the instance asked.", Buckets: durationBuckets}),
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: metricPrefix + "sync_seconds",
			Help: "Of a file's sync.", Buckets: durationBuckets}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + "puts_total",
			Help: "Puts applied, by end; each instance counts all."}, []string{"end"}),
	}
	for _, outcome := range []PutOutcome{PutCommitted, PutUnchanged, PutConflict, PutInvalid, PutExpired} {
		m.outcomes.WithLabelValues(string(outcome)) // exported as 0 before the first put
	}
	m.addRaft()
	m.addContact()
	m.addTransport()
	m.registry.MustRegister(m.putSeconds, m.syncSeconds, m.outcomes, m)
	return m
}

func (m *metrics) gauge(name, help string, value func(*View) float64) {
	m.add(name, help, prometheus.GaugeValue, func(v *View, _ *Group) float64 { return value(v) })
}

func (m *metrics) counter(name, help string, value func(*View, *Group) uint64) {
	m.add(name+"_total", help, prometheus.CounterValue,
		func(v *View, g *Group) float64 { return float64(value(v, g)) })
}

func (m *metrics) add(name, help string, kind prometheus.ValueType, value func(*View, *Group) float64) {
	m.sampled = append(m.sampled, sampledMetric{prometheus.NewDesc(metricPrefix+name, help, nil, nil), kind, value})
}

func (m *metrics) addRaft() {
	m.gauge("term", "Of the group, as known here.", func(v *View) float64 { return float64(v.Term) })
	m.gauge("leads", "1 at the leader.", func(v *View) float64 { return boolValue(v.Role == RoleLeader) })
	m.gauge("voters", "In the group.", func(v *View) float64 { return float64(countVoters(v.Members)) })
	m.gauge("version", "In force here.", func(v *View) float64 { return float64(v.Version) })
	m.gauge("applied_index", "Of the log.", func(v *View) float64 { return float64(v.Applied) })
	m.gauge("commit_index", "Of the log.", func(v *View) float64 { return float64(v.Commit) })
	m.gauge("last_index", "Of the log.", func(v *View) float64 { return float64(v.LastIndex) })
	m.gauge("disk_bytes", "Log and snapshots.", func(v *View) float64 { return float64(v.DiskBytes) })
	m.counter("syncs", "That someone waited for.", func(v *View, _ *Group) uint64 { return v.Syncs })
	m.counter("elections", "This instance stood for.", func(v *View, _ *Group) uint64 { return v.Campaigns })
}

func (m *metrics) addContact() {
	m.gauge("away_seconds", "Since a leader was heard.", func(v *View) float64 { return v.SinceLeader().Seconds() })
	m.gauge("out_of_touch", "1 past the operator's bound.",
		func(v *View) float64 { return boolValue(v.OutOfContact()) })
	m.gauge("barred", "1 where it takes no part.", func(v *View) float64 { return boolValue(v.Barred != "") })
}

func (m *metrics) addTransport() {
	m.add("inbox", "Messages that wait.", prometheus.GaugeValue,
		func(_ *View, g *Group) float64 { return float64(len(g.inbox)) })
	m.add("asked", "Askings that wait.", prometheus.GaugeValue,
		func(_ *View, g *Group) float64 { return float64(len(g.requests)) })
	m.counter("messages_sent", "To peers.", func(_ *View, g *Group) uint64 { return g.transport.counters.sent.Load() })
	m.counter("messages_received", "From peers.",
		func(_ *View, g *Group) uint64 { return g.transport.counters.received.Load() })
	m.counter("messages_dropped", "For want of room or a connection.",
		func(_ *View, g *Group) uint64 { return g.transport.counters.dropped.Load() })
	m.counter("peers_refused", "Of another cluster, removed, old copies.",
		func(_ *View, g *Group) uint64 { return g.transport.counters.refused.Load() })
	m.counter("peers_broken", "Connections with what can't be read.",
		func(_ *View, g *Group) uint64 { return g.transport.counters.broken.Load() })
	m.counter("snapshots_sent", "To peers.",
		func(_ *View, g *Group) uint64 { return g.transport.counters.snapshotsSent.Load() })
	m.counter("snapshots_received", "From peers.",
		func(_ *View, g *Group) uint64 { return g.transport.counters.snapshotsReceived.Load() })
}

func countVoters(members []Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Describe is part of prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, r := range m.sampled {
		ch <- r.desc
	}
}

// Collect is part of prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	v := m.group.View()
	if v == nil {
		return
	}
	for _, r := range m.sampled {
		ch <- prometheus.MustNewConstMetric(r.desc, r.kind, r.value(v, m.group))
	}
}

// timedFS measures the syncs of its files.
type timedFS struct {
	wal.FS
	metrics *metrics
}

type timedFile struct {
	wal.File
	metrics *metrics
}

// Create is part of wal.FS.
func (t timedFS) Create(name string) (wal.File, error) {
	f, err := t.FS.Create(name)
	return timedFile{f, t.metrics}, err
}

// Open is part of wal.FS.
func (t timedFS) Open(name string) (wal.File, error) {
	f, err := t.FS.Open(name)
	return timedFile{f, t.metrics}, err
}

// Sync is part of wal.File.
func (t timedFile) Sync() error {
	started := time.Now()
	err := t.File.Sync()
	t.metrics.syncSeconds.Observe(time.Since(started).Seconds())
	return err
}
