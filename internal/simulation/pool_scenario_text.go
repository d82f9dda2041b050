package simulation

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"umberwinch/admission"
)

// ReadScenario reads a scenario; its errors name file, line, what was found and what was expected.
func ReadScenario(name, text string) (*Scenario, error) {
	s := &Scenario{name: name, Cores: 6, Tenants: 4, span: 120 * second, load: 1, Cheapest: -1, Dearest: -1}
	for n, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if w := strings.Fields(line); len(w) > 0 {
			if err := s.line(w); err != nil {
				return nil, fmt.Errorf("%s:%d: %w", name, n+1, err)
			}
		}
	}
	if len(s.Classes) == 0 || s.Cheapest < 0 || s.Dearest < 0 {
		return nil, fmt.Errorf("%s: %d classes, expected some, a cheapest and a dearest", name, len(s.Classes))
	}
	sort.SliceStable(s.at, func(i, k int) bool { return s.at[i].at < s.at[k].at })
	return s, nil
}

func (s *Scenario) class(name string) (int, error) {
	for k := range s.Classes {
		if s.Classes[k].Name == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("class %q, expected one named before", name)
}

func (s *Scenario) line(w []string) (err error) {
	number := func(i int) float64 {
		if i >= len(w) {
			err = errors.New("a number is missing")
			return 0
		}
		v, bad := strconv.ParseFloat(w[i], 64)
		if bad != nil {
			err = fmt.Errorf("%q, expected a number", w[i])
		}
		return v
	}
	pairs := func(from int) map[string]float64 {
		out := map[string]float64{}
		for _, p := range w[from:] {
			k, v, _ := strings.Cut(p, "=")
			f, bad := strconv.ParseFloat(v, 64)
			if bad != nil {
				err = fmt.Errorf("%q, expected KEY=NUMBER", p)
			}
			out[k] = f
		}
		return out
	}
	switch w[0] {
	case "cores":
		s.Cores = int(number(1))
	case "tenants":
		s.Tenants = int(number(1))
	case "for":
		s.span = virtualTime(number(1) * float64(second))
	case "load":
		s.load = number(1)
	case "exempt":
		s.exempt = true
	case "cheapest", "dearest":
		if len(w) < 2 {
			return errors.New("a class is missing")
		}
		k, bad := s.class(w[1])
		if bad != nil {
			return bad
		}
		if w[0] == "cheapest" {
			s.Cheapest = k
		} else {
			s.Dearest = k
		}
	case "holds":
		k, bad := s.class(w[1])
		s.holds = append(s.holds, serviceTarget{k, number(2)})
		return errors.Join(err, bad)
	case "class":
		p := pairs(2)
		get := func(key string, def float64) float64 {
			if v, ok := p[key]; ok {
				return v
			}
			return def
		}
		s.Classes = append(s.Classes, Class{Name: w[1], Work: get("work", 10) * 10, WorkSigma: get("tail", 0),
			surge: -1,
			tries: int(get("tries", 2)), Handler: admission.Handler{LatencyObjective: virtualTime(get("target", 1000) * 10),
				Timeout: virtualTime(get("timeout", 5000) * 10), Value: get("value", 1)}})
		s.shares = append(s.shares, get("share", 1))
	case "swing":
		for at, k := 0.0, 0; at < float64(s.span)/float64(second); at, k = at+number(1), k+1 {
			if err != nil || number(1) <= 0 {
				return errors.Join(err, errors.New("a swing takes a time above 0"))
			}
			s.at = append(s.at, scenarioChange{at: virtualTime(at * float64(second)), class: -1, kind: "load",
				words: map[string]float64{"load": number(2 + k%2)}})
		}
	case "at":
		if len(w) < 4 {
			return errors.New("expected at SECONDS WHAT VALUE")
		}
		c := scenarioChange{at: virtualTime(number(1) * float64(second)), class: -1, kind: w[2]}
		switch w[2] {
		case "load", "cores", "drain":
			c.words = map[string]float64{w[2]: number(3)}
		default:
			k, bad := s.class(w[2])
			if bad != nil {
				return bad
			}
			c.class, c.words = k, pairs(3)
		}
		s.at = append(s.at, c)
	default:
		return fmt.Errorf("%q is not known", w[0])
	}
	return err
}
