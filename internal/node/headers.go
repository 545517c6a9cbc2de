package node

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"sloestile/control"
)

const (
	maxMeterPercent = 10000 // of X-Allowance-Used
	maxLoadFigure   = 1e6   // of any figure in X-Backend-Load
)

// Headers of the protocol between clients, edge nodes and servers. The protocol's names end here: past this file a tariff
// is a plan, a weight is tokens, an allowance is a meter reading.
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

// meterReading returns the tenant's use in per cent and one more; 0 is not given.
func (o *outcome) meterReading() int {
	v, err := strconv.Atoi(o.header.Get(headerMeter))
	if err != nil || v < 0 || v > maxMeterPercent {
		return 0
	}
	return v + 1
}

// tokens returns the true cost of a request, of most at most (0 is no limit); 0 is not given.
func (o *outcome) trueCost(maxTokens float64) float64 {
	v, err := parseNumber(o.header.Get(headerCost))
	if err != nil || v < 0 || (maxTokens > 0 && v > maxTokens) {
		return 0
	}
	return v
}

// loadReport returns the server's load report, or nil. The header has two names for each figure; an unknown name and a
// value out of range are skipped.
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

// parseNumber reads a finite number.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = fmt.Errorf("%q is not finite", s)
	}
	return v, err
}
