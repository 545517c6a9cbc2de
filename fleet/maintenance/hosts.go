package maintenance

import (
	"fmt"
	"strconv"
	"strings"
)

// compiled is a plan with its ranges spread out.
type compiled struct {
	plan   *Plan
	work   map[string]work  // by host
	hosts  []string         // of work, in the plan's order
	groups []group          // that are kept apart
	member map[string][]int // of which groups a host is
}

// work is what one host has to have done.
type work struct {
	job      string
	length   Duration
	deadline Timestamp
}

type group struct {
	name string
	most int
}

// compile checks a plan and spreads its ranges out.
func compile(p *Plan) (*compiled, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	c := &compiled{plan: p, work: map[string]work{}, member: map[string][]int{}}
	if n := len(p.Jobs); n == 0 || n > jobsMost {
		return nil, &PlanError{Key: "jobs", Reason: fmt.Sprintf("%d jobs", n), Hint: fmt.Sprintf("name 1 to %d", jobsMost)}
	}
	seen := map[string]bool{}
	for i, j := range p.Jobs {
		key := fmt.Sprintf("jobs.%d", i)
		if !nameGood(j.Name) || seen[j.Name] {
			return nil, &PlanError{Key: key + ".name", Reason: fmt.Sprintf("%q is no name, or is named twice", j.Name), Hint: "give each job a name of its own"}
		}
		seen[j.Name] = true
		if err := checkSpan(key+".length", j.WorkDuration, false); err != nil {
			return nil, err
		}
		if j.Deadline < 0 {
			return nil, &PlanError{Key: key + ".deadline", Reason: "it is before 1970", Hint: "name one, or none"}
		}
		hosts, err := spread(key+".hosts", j.Hosts, MaxPlanHosts-len(c.hosts))
		if err != nil {
			return nil, err
		}
		for _, h := range hosts {
			if _, twice := c.work[h]; twice {
				return nil, &PlanError{Key: key + ".hosts", Host: h, Reason: "it is named twice", Hint: "put all its work into one job"}
			}
			c.work[h] = work{j.Name, j.WorkDuration, j.Deadline}
		}
		c.hosts = append(c.hosts, hosts...)
	}
	return c, c.keepApart(p.AntiAffinityGroups)
}

func (c *compiled) keepApart(apart []AntiAffinityGroup) error {
	if len(apart) > apartMost {
		return &PlanError{Key: "apart", Reason: fmt.Sprintf("%d groups", len(apart)), Hint: fmt.Sprintf("name %d at most", apartMost)}
	}
	seen, left := map[string]bool{}, MaxPlanHosts
	for i, a := range apart {
		key := fmt.Sprintf("apart.%d", i)
		if !nameGood(a.Name) || seen[a.Name] {
			return &PlanError{Key: key + ".name", Reason: fmt.Sprintf("%q is no name, or is named twice", a.Name), Hint: "give each group a name of its own"}
		}
		seen[a.Name] = true
		hosts, err := spread(key+".hosts", a.Hosts, left)
		if err != nil {
			return err
		}
		left -= len(hosts)
		if a.MaxUnavailable < 1 || a.MaxUnavailable >= len(hosts) {
			return &PlanError{Key: key + ".most", Reason: fmt.Sprintf("%d of %d hosts keeps none apart", a.MaxUnavailable, len(hosts)), Hint: "name fewer than the group has, and one at least"}
		}
		in := map[string]bool{}
		for _, h := range hosts {
			if in[h] {
				return &PlanError{Key: key + ".hosts", Host: h, Reason: "it is named twice", Hint: "name it once in a group"}
			}
			in[h] = true
			c.member[h] = append(c.member[h], i)
		}
		c.groups = append(c.groups, group{a.Name, a.MaxUnavailable})
	}
	return nil
}

// spread gives the hosts of names and ranges, most at most.
func spread(key string, names []string, most int) (hosts []string, err error) {
	if len(names) == 0 {
		return nil, &PlanError{Key: key, Reason: "no host is named", Hint: "name one"}
	}
	for _, n := range names {
		head, from, to, width, tail, err := bracket(n)
		switch {
		case err != nil:
			return nil, &PlanError{Key: key, Host: n, Reason: err.Error(), Hint: "write a name, or a range like edge-[001-120]"}
		case to-from >= most-len(hosts):
			return nil, &PlanError{Key: key, Host: n, Reason: fmt.Sprintf("over %d hosts with it", MaxPlanHosts), Hint: "split the work over several plans"}
		case width == 0:
			hosts = append(hosts, n)
			continue
		}
		for i := from; i <= to; i++ {
			hosts = append(hosts, fmt.Sprintf("%s%0*d%s", head, width, i, tail))
		}
	}
	return hosts, nil
}

// bracket takes a range apart; width 0 is a plain name.
func bracket(name string) (head string, from, to, width int, tail string, err error) {
	head, rest, ok := strings.Cut(name, "[")
	if !ok {
		if !nameGood(name) {
			return "", 0, 0, 0, "", fmt.Errorf("%q is no name", name)
		}
		return name, 0, 0, 0, "", nil
	}
	span, tail, ok := strings.Cut(rest, "]")
	low, high, dash := strings.Cut(span, "-")
	if !ok || !dash || len(low) != len(high) || len(low) == 0 || len(low) > 6 || len(name) > nameMost {
		return "", 0, 0, 0, "", fmt.Errorf("%q is no range", name)
	}
	if !nameGood(head + low + tail) {
		return "", 0, 0, 0, "", fmt.Errorf("%q is no name", name)
	}
	a, errA := strconv.ParseUint(low, 10, 32)
	b, errB := strconv.ParseUint(high, 10, 32)
	if errA != nil || errB != nil || a > b {
		return "", 0, 0, 0, "", fmt.Errorf("%q is no range", name)
	}
	return head, int(a), int(b), len(low), tail, nil
}

// nameGood tells whether a text may name a host, a machine, a job, a zone or a group.
func nameGood(s string) bool {
	if s == "" || len(s) > nameMost {
		return false
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && !strings.ContainsRune("-_.:", r) {
			return false
		}
	}
	return true
}
