package node

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"sloestile/control"
)

const (
	maxMeterPercent = 10000 // maximum of X-Allowance-Used
	maxLoadFigure   = 1e6   // maximum of any figure in X-Backend-Load
)

// Headers of the protocol between clients, edge nodes and servers. The code has its own terms for some of them: it
// calls a tariff a plan, a weight a number of tokens, and an allowance a meter reading.
const (
	headerID          = "X-Correlation-Id"
	headerPlan        = "X-Tariff"
	headerTimeLeft    = "X-Time-Left"
	headerWeight      = "X-Weight"
	headerRetry       = "X-Repeat"
	headerKey         = "Idempotency-Key"
	headerUnprocessed = "X-Unprocessed"
	headerMeter       = "X-Allowance-Used"
	headerCost        = "X-True-Cost"
	headerLoad        = "X-Backend-Load"
)

// meterReading returns the tenant's quota use in percent plus 1; 0 means that the response has no valid reading.
func (o *outcome) meterReading() int {
	v, err := strconv.Atoi(o.header.Get(headerMeter))
	if err != nil || v < 0 || v > maxMeterPercent {
		return 0
	}
	return v + 1
}

// trueCost returns the true cost of a request in tokens; 0 means that the response has none, or one above maxTokens. A
// maxTokens of 0 means no limit.
func (o *outcome) trueCost(maxTokens float64) float64 {
	v, err := parseNumber(o.header.Get(headerCost))
	if err != nil || v < 0 || (maxTokens > 0 && v > maxTokens) {
		return 0
	}
	return v
}

// loadReport returns the server's load report, or nil if there is none. The header has two names for each figure;
// unknown names and values out of range are skipped.
func (o *outcome) loadReport() *control.LoadReport {
	unset := control.LoadReport{Active: -1, Waiting: -1, CPU: -1, AvgMS: -1, RPS: -1, ErrRPS: -1}
	l := unset
	for pair := range strings.SplitSeq(o.header.Get(headerLoad), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := parseNumber(value)
		if err != nil || v < 0 || v > maxLoadFigure {
			continue
		}
		switch name {
		case "inflight", "active":
			l.Active = v
		case "queue", "waiting":
			l.Waiting = v
		case "util", "cpu":
			l.CPU = v
		case "latency_ms", "avg_ms":
			l.AvgMS = v
		case "qps", "rps":
			l.RPS = v
		case "eps", "err_rps":
			l.ErrRPS = v
		}
	}
	if l == unset {
		return nil
	}
	return &l
}

// parseNumber parses a finite number.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}
