package maintenance

import (
	"fmt"
	"strconv"
	"strings"
)

// compiledPlan is a validated plan with its host ranges expanded.
type compiledPlan struct {
	plan         *Plan
	workByHost   map[string]hostWork
	hosts        []string         // hosts with work, in the plan's order
	groups       []groupLimit     // anti-affinity groups, in the plan's order
	groupsByHost map[string][]int // indexes into groups
}

// hostWork is the work planned for one host.
type hostWork struct {
	job      string
	duration Duration
	deadline Timestamp
}

// groupLimit is the bound of one anti-affinity group.
type groupLimit struct {
	name           string
	maxUnavailable int
}

// compile validates a plan and expands its host ranges.
func compile(p *Plan) (*compiledPlan, error) {
	if err := p.checkValues(); err != nil {
		return nil, err
	}
	c := &compiledPlan{plan: p, workByHost: map[string]hostWork{}, groupsByHost: map[string][]int{}}
	if n := len(p.Jobs); n == 0 || n > maxJobs {
		return nil, &PlanError{Key: "jobs", Reason: fmt.Sprintf("%d jobs", n), Hint: fmt.Sprintf("list 1 to %d", maxJobs)}
	}
	seen := map[string]bool{}
	for i, job := range p.Jobs {
		key := fmt.Sprintf("jobs.%d", i)
		if !validName(job.Name) || seen[job.Name] {
			return nil, &PlanError{Key: key + ".name",
				Reason: fmt.Sprintf("%q is not a valid name or is used twice", job.Name),
				Hint:   "give each job a unique name"}
		}
		seen[job.Name] = true
		if err := checkDuration(key+".length", job.WorkDuration, false); err != nil {
			return nil, err
		}
		if job.Deadline < 0 {
			return nil, &PlanError{Key: key + ".deadline", Reason: "it is before 1970", Hint: "set a later one, or none"}
		}
		hosts, err := expandHosts(key+".hosts", job.Hosts, MaxPlanHosts-len(c.hosts))
		if err != nil {
			return nil, err
		}
		for _, host := range hosts {
			if _, repeated := c.workByHost[host]; repeated {
				return nil, &PlanError{Key: key + ".hosts", Host: host, Reason: "it is listed twice",
					Hint: "put all its work into one job"}
			}
			c.workByHost[host] = hostWork{job.Name, job.WorkDuration, job.Deadline}
		}
		c.hosts = append(c.hosts, hosts...)
	}
	return c, c.compileGroups(p.AntiAffinityGroups)
}

func (c *compiledPlan) compileGroups(groups []AntiAffinityGroup) error {
	if len(groups) > maxAntiAffinityGroups {
		return &PlanError{Key: "apart", Reason: fmt.Sprintf("%d groups", len(groups)),
			Hint: fmt.Sprintf("list at most %d", maxAntiAffinityGroups)}
	}
	seen, hostsLeft := map[string]bool{}, MaxPlanHosts
	for i, group := range groups {
		key := fmt.Sprintf("apart.%d", i)
		if !validName(group.Name) || seen[group.Name] {
			return &PlanError{Key: key + ".name",
				Reason: fmt.Sprintf("%q is not a valid name or is used twice", group.Name),
				Hint:   "give each group a unique name"}
		}
		seen[group.Name] = true
		hosts, err := expandHosts(key+".hosts", group.Hosts, hostsLeft)
		if err != nil {
			return err
		}
		hostsLeft -= len(hosts)
		if group.MaxUnavailable < 1 || group.MaxUnavailable >= len(hosts) {
			return &PlanError{Key: key + ".most",
				Reason: fmt.Sprintf("%d of %d hosts is not a limit", group.MaxUnavailable, len(hosts)),
				Hint:   "set at least 1 and fewer than the group has"}
		}
		members := map[string]bool{}
		for _, host := range hosts {
			if members[host] {
				return &PlanError{Key: key + ".hosts", Host: host, Reason: "it is listed twice",
					Hint: "list it once in a group"}
			}
			members[host] = true
			c.groupsByHost[host] = append(c.groupsByHost[host], i)
		}
		c.groups = append(c.groups, groupLimit{group.Name, group.MaxUnavailable})
	}
	return nil
}

// expandHosts expands names and ranges to hosts. More than maxHosts are an error.
func expandHosts(key string, names []string, maxHosts int) (hosts []string, err error) {
	if len(names) == 0 {
		return nil, &PlanError{Key: key, Reason: "no host is listed", Hint: "list at least one"}
	}
	for _, name := range names {
		prefix, first, last, width, suffix, err := parseHostRange(name)
		switch {
		case err != nil:
			return nil, &PlanError{Key: key, Host: name, Reason: err.Error(),
				Hint: "write a name, or a range like edge-[001-120]"}
		case last-first >= maxHosts-len(hosts):
			return nil, &PlanError{Key: key, Host: name,
				Reason: fmt.Sprintf("more than %d hosts with it", MaxPlanHosts), Hint: "split the work over several plans"}
		case width == 0:
			hosts = append(hosts, name)
			continue
		}
		for i := first; i <= last; i++ {
			hosts = append(hosts, fmt.Sprintf("%s%0*d%s", prefix, width, i, suffix))
		}
	}
	return hosts, nil
}

// parseHostRange splits a range like "edge-[001-120]" into its parts. A width of 0 means a plain
// name, returned as the prefix.
func parseHostRange(name string) (prefix string, first, last, width int, suffix string, err error) {
	prefix, rest, ok := strings.Cut(name, "[")
	if !ok {
		if !validName(name) {
			return "", 0, 0, 0, "", fmt.Errorf("%q is not a valid name", name)
		}
		return name, 0, 0, 0, "", nil
	}
	bounds, suffix, ok := strings.Cut(rest, "]")
	low, high, hasDash := strings.Cut(bounds, "-")
	if !ok || !hasDash || len(low) != len(high) || len(low) == 0 || len(low) > 6 || len(name) > maxNameBytes {
		return "", 0, 0, 0, "", fmt.Errorf("%q is not a valid range", name)
	}
	if !validName(prefix + low + suffix) {
		return "", 0, 0, 0, "", fmt.Errorf("%q is not a valid name", name)
	}
	firstNumber, errFirst := strconv.ParseUint(low, 10, 32)
	lastNumber, errLast := strconv.ParseUint(high, 10, 32)
	if errFirst != nil || errLast != nil || firstNumber > lastNumber {
		return "", 0, 0, 0, "", fmt.Errorf("%q is not a valid range", name)
	}
	return prefix, int(firstNumber), int(lastNumber), len(low), suffix, nil
}

// validName reports whether a text is a valid name of a host, machine, job, zone or group.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && !strings.ContainsRune("-_.:", r) {
			return false
		}
	}
	return true
}
