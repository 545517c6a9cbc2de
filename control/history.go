package control

import "time"

const (
	historyBins   = 80          // of a tenant's history
	binsPerPeriod = 10          // bins in a meter period
	defaultPeriod = time.Second // where there is no meter
)

// binLength returns the length of a bin of the histories.
func (e *environment) binLength() time.Duration {
	if e.settings.MeterPeriod > 0 {
		return e.settings.MeterPeriod / binsPerPeriod
	}
	return defaultPeriod / binsPerPeriod
}

// bin returns the number of the present bin.
func (e *environment) bin() int64 { return int64(e.now / e.binLength()) }

// history holds running sums of an amount by bin, for the last historyBins bins.
type history struct {
	last int64
	sum  [historyBins]float64 // up to the end of a bin
}

// advance begins the bins up to b.
func (h *history) advance(b int64) {
	sum := h.sum[h.index(h.last)]
	for i := max(h.last+1, b-historyBins+1); i <= b; i++ {
		h.sum[h.index(i)] = sum
	}
	h.last = max(h.last, b)
}

func (h *history) index(b int64) int64 { return (b%historyBins + historyBins) % historyBins }

// add adds an amount in the last bin.
func (h *history) add(amount float64) { h.sum[h.index(h.last)] += amount }

// inPeriodBefore returns the amount of the meter period that ends before a bin.
func (h *history) inPeriodBefore(end int64) float64 {
	from := max(end-binsPerPeriod-1, h.last-historyBins+1)
	return h.sum[h.index(max(end-1, from))] - h.sum[h.index(from)]
}

// save returns the bins with an amount, each with its number.
func (h *history) save() [][2]float64 {
	var saved [][2]float64
	for b := h.last - historyBins + 2; b <= h.last; b++ {
		if amount := h.sum[h.index(b)] - h.sum[h.index(b-1)]; amount != 0 {
			saved = append(saved, [2]float64{float64(b), amount})
		}
	}
	return saved
}

// load takes what save returned, up to the bin last.
func (h *history) load(saved [][2]float64, last int64) {
	h.advance(last - historyBins)
	for _, entry := range saved {
		b := int64(entry[0])
		if b > h.last-1 && b <= last && len(saved) <= historyBins {
			h.advance(b)
			h.add(entry[1])
		}
	}
	h.advance(last)
}
