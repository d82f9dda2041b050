package consensus

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"umberwinch/internal/wal"
)

// meters are what Prometheus reads on the control address. They are looked at when asked for; only times and
// ends are noted as they come.
type metrics struct {
	group    *Group
	registry *prometheus.Registry
	commit   prometheus.Histogram
	sync     prometheus.Histogram
	ends     *prometheus.CounterVec
	figures  []metric
}

type metric struct {
	desc  *prometheus.Desc
	kind  prometheus.ValueType
	value func(*View, *Group) float64
}

func newMetrics(g *Group) *metrics {
	times := prometheus.ExponentialBuckets(0.0001, 2, 17) // 0.1 ms to 6.6 s
	m := &metrics{group: g, registry: prometheus.NewRegistry(),
		commit: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberwinch_control_put_seconds",
			Help: "From a put's asking to its end, at the instance asked.", Buckets: times}),
		sync: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "umberwinch_control_sync_seconds",
			Help: "Of a file's sync.", Buckets: times}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umberwinch_control_puts_total",
			Help: "Puts applied, by end; each instance counts all."}, []string{"end"})}
	for _, end := range []string{PutCommitted, PutUnchanged, PutConflict, PutInvalid, PutExpired} {
		m.ends.WithLabelValues(end)
	}
	gauge := func(name, help string, of func(*View, *Group) float64) {
		m.figures = append(m.figures, metric{prometheus.NewDesc("umberwinch_control_"+name, help, nil, nil),
			prometheus.GaugeValue, of})
	}
	count := func(name, help string, of func(*View, *Group) float64) {
		m.figures = append(m.figures, metric{prometheus.NewDesc("umberwinch_control_"+name+"_total", help, nil,
			nil),
			prometheus.CounterValue, of})
	}
	gauge("term", "Of the group, as known here.", func(v *View, _ *Group) float64 { return float64(v.Term) })
	gauge("leads", "1 at the leader.", func(v *View, _ *Group) float64 { return boolValue(v.Role == "leader") })
	gauge("voters", "In the group.", func(v *View, _ *Group) float64 {
		n := 0
		for _, m := range v.Members {
			if m.Voter {
				n++
			}
		}
		return float64(n)
	})
	gauge("version", "In force here.", func(v *View, _ *Group) float64 { return float64(v.Version) })
	gauge("applied_index", "Of the log.", func(v *View, _ *Group) float64 { return float64(v.Applied) })
	gauge("commit_index", "Of the log.", func(v *View, _ *Group) float64 { return float64(v.Commit) })
	gauge("last_index", "Of the log.", func(v *View, _ *Group) float64 { return float64(v.LastIndex) })
	gauge("disk_bytes", "Log and snapshots.", func(v *View, _ *Group) float64 { return float64(v.DiskBytes) })
	gauge("away_seconds", "Since a leader was heard.", func(v *View,
		_ *Group) float64 {
		return v.SinceLeader().Seconds()
	})
	gauge("out_of_touch", "1 past the operator's bound.", func(v *View,
		_ *Group) float64 {
		return boolValue(v.OutOfContact())
	})
	gauge("barred", "1 where it takes no part.", func(v *View, _ *Group) float64 { return boolValue(v.Barred != "") })
	gauge("inbox", "Messages that wait.", func(_ *View, g *Group) float64 { return float64(len(g.inbox)) })
	gauge("asked", "Askings that wait.", func(_ *View, g *Group) float64 { return float64(len(g.requests)) })
	count("syncs", "That someone waited for.", func(v *View, _ *Group) float64 { return float64(v.Syncs) })
	count("elections", "This instance stood for.", func(v *View, _ *Group) float64 { return float64(v.Campaigns) })
	wire := func(name, help string, of func(*transportCounters) uint64) {
		count(name, help, func(_ *View, g *Group) float64 { return float64(of(&g.transport.count)) })
	}
	wire("messages_sent", "To peers.", func(t *transportCounters) uint64 { return t.sent.Load() })
	wire("messages_received", "From peers.", func(t *transportCounters) uint64 { return t.received.Load() })
	wire("messages_dropped", "For want of room or a connection.",
		func(t *transportCounters) uint64 { return t.dropped.Load() })
	wire("peers_refused", "Of another cluster, removed, old copies.",
		func(t *transportCounters) uint64 { return t.refused.Load() })
	wire("peers_broken", "Connections with what can't be read.",
		func(t *transportCounters) uint64 { return t.broken.Load() })
	wire("snapshots_sent", "To peers.", func(t *transportCounters) uint64 { return t.snapsSent.Load() })
	wire("snapshots_received", "From peers.", func(t *transportCounters) uint64 { return t.snapsReceived.Load() })
	m.registry.MustRegister(m.commit, m.sync, m.ends, m)
	return m
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, f := range m.figures {
		ch <- f.desc
	}
}

func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	v := m.group.View()
	if v == nil {
		return
	}
	for _, f := range m.figures {
		ch <- prometheus.MustNewConstMetric(f.desc, f.kind, f.value(v, m.group))
	}
}

// timedFS notes how long a file's sync takes.
type timedFS struct {
	wal.FS
	meters *metrics
}

type timedFile struct {
	wal.File
	meters *metrics
}

func (t timedFS) Create(name string) (wal.File, error) {
	f, err := t.FS.Create(name)
	return timedFile{f, t.meters}, err
}

func (t timedFS) Open(name string) (wal.File, error) {
	f, err := t.FS.Open(name)
	return timedFile{f, t.meters}, err
}

func (t timedFile) Sync() error {
	started := time.Now()
	err := t.File.Sync()
	t.meters.sync.Observe(time.Since(started).Seconds())
	return err
}
