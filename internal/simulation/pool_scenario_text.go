package simulation

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"umberwinch/admission"
)

// ReadScenario parses a scenario. Its errors name the file and line, the text found and what was expected.
func ReadScenario(name, text string) (*Scenario, error) {
	s := &Scenario{name: name, Cores: 6, Tenants: 4, duration: 120 * second, load: 1, Cheapest: -1, HighestValue: -1}
	for n, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if w := strings.Fields(line); len(w) > 0 {
			if err := s.parseLine(w); err != nil {
				return nil, fmt.Errorf("%s:%d: %w", name, n+1, err)
			}
		}
	}
	if len(s.Classes) == 0 || s.Cheapest < 0 || s.HighestValue < 0 {
		return nil, fmt.Errorf("%s: found %d classes, expected at least one class, a cheapest and a dearest class",
			name, len(s.Classes))
	}
	sort.SliceStable(s.changes, func(i, k int) bool { return s.changes[i].at < s.changes[k].at })
	return s, nil
}

// scenarioLine parses the words of one line and keeps the first error.
type scenarioLine struct {
	scenario *Scenario
	words    []string
	err      error
}

func (s *Scenario) parseLine(words []string) error {
	l := &scenarioLine{scenario: s, words: words}
	l.read()
	return l.err
}

func (l *scenarioLine) read() {
	s := l.scenario
	switch l.words[0] {
	case "cores":
		s.Cores = int(l.number(1))
	case "tenants":
		s.Tenants = int(l.number(1))
	case "for":
		s.duration = l.seconds(1)
	case "load":
		s.load = l.number(1)
	case "exempt":
		s.exemptCheapest = true
	case "cheapest":
		s.Cheapest = l.class(1)
	case "dearest":
		s.HighestValue = l.class(1)
	case "holds":
		s.targets = append(s.targets, serviceTarget{l.class(1), l.number(2)})
	case "class":
		l.readClass()
	case "swing":
		l.readSwing()
	case "at":
		l.readChange()
	default:
		l.fail(fmt.Errorf("unknown keyword %q", l.words[0]))
	}
}

func (l *scenarioLine) fail(err error) {
	if l.err == nil {
		l.err = err
	}
}

func (l *scenarioLine) word(i int, missing string) string {
	if i >= len(l.words) {
		l.fail(errors.New(missing))
		return ""
	}
	return l.words[i]
}

func (l *scenarioLine) number(i int) float64 {
	word := l.word(i, "a number is missing")
	if word == "" {
		return 0
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil {
		l.fail(fmt.Errorf("found %q, expected a number", word))
	}
	return v
}

func (l *scenarioLine) seconds(i int) virtualTime { return virtualTime(l.number(i) * float64(second)) }

// class returns the index of a class that an earlier line has defined.
func (l *scenarioLine) class(i int) int {
	name := l.word(i, "a class is missing")
	for k := range l.scenario.Classes {
		if l.scenario.Classes[k].Name == name {
			return k
		}
	}
	l.fail(fmt.Errorf("class %q is not defined in an earlier line", name))
	return -1
}

// keyValues parses the words from an index on as KEY=NUMBER.
func (l *scenarioLine) keyValues(from int) map[string]float64 {
	out := map[string]float64{}
	for _, p := range l.words[min(from, len(l.words)):] {
		key, text, _ := strings.Cut(p, "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			l.fail(fmt.Errorf("found %q, expected KEY=NUMBER", p))
		}
		out[key] = v
	}
	return out
}

func (l *scenarioLine) readClass() {
	name, values := l.word(1, "a class is missing"), l.keyValues(2)
	get := func(key string, fallback float64) float64 {
		if v, ok := values[key]; ok {
			return v
		}
		return fallback
	}
	const perMillisecond = float64(second) / 1000
	l.scenario.Classes = append(l.scenario.Classes, Class{
		Name: name, MeanWork: get("work", 10) * perMillisecond, WorkSigma: get("tail", 0), surgingTenant: -1,
		maxRetries: int(get("tries", 2)),
		Handler: admission.Handler{LatencyObjective: virtualTime(get("target", 1000) * perMillisecond),
			Timeout: virtualTime(get("timeout", 5000) * perMillisecond), Value: get("value", 1)}})
	l.scenario.requestShares = append(l.scenario.requestShares, get("share", 1))
}

// readSwing schedules load changes that alternate between two values until the end.
func (l *scenarioLine) readSwing() {
	period, loads := l.number(1), [2]float64{l.number(2), l.number(3)}
	if l.err != nil || period <= 0 {
		l.err = errors.Join(l.err, errors.New("the period of a swing must be above 0"))
		return
	}
	for at, k := 0.0, 0; at < float64(l.scenario.duration)/float64(second); at, k = at+period, k+1 {
		l.scenario.changes = append(l.scenario.changes, scenarioChange{at: virtualTime(at * float64(second)), class: -1,
			kind: "load", values: map[string]float64{"load": loads[k%2]}})
	}
}

func (l *scenarioLine) readChange() {
	if len(l.words) < 4 {
		l.fail(errors.New("expected at SECONDS WHAT VALUE"))
		return
	}
	c := scenarioChange{at: l.seconds(1), class: -1, kind: l.words[2]}
	switch c.kind {
	case "load", "cores", "drain":
		c.values = map[string]float64{c.kind: l.number(3)}
	default:
		c.class, c.values = l.class(2), l.keyValues(3)
	}
	l.scenario.changes = append(l.scenario.changes, c)
}
