package control

import "time"

const (
	historyBins   = 80          // number of bins that a history keeps
	binsPerPeriod = 10          // number of bins in a meter period
	defaultPeriod = time.Second // meter period that is assumed without a meter
)

// binLength returns the length of a bin of the histories.
func (e *environment) binLength() time.Duration {
	if e.settings.MeterPeriod > 0 {
		return e.settings.MeterPeriod / binsPerPeriod
	}
	return defaultPeriod / binsPerPeriod
}

// currentBin returns the number of the current bin.
func (e *environment) currentBin() int64 { return int64(e.now / e.binLength()) }

// history holds the running sums of an amount by bin, for the last historyBins bins.
type history struct {
	lastBin int64                // number of the latest bin
	sums    [historyBins]float64 // sums up to the end of each bin, at index(bin)
}

// advance begins the bins after the last one, up to b.
func (h *history) advance(b int64) {
	sum := h.sums[h.index(h.lastBin)]
	for i := max(h.lastBin+1, b-historyBins+1); i <= b; i++ {
		h.sums[h.index(i)] = sum
	}
	h.lastBin = max(h.lastBin, b)
}

// index returns the index in sums of a bin.
func (h *history) index(b int64) int64 { return (b%historyBins + historyBins) % historyBins }

// add adds an amount to the last bin.
func (h *history) add(amount float64) { h.sums[h.index(h.lastBin)] += amount }

// periodSumBefore returns the sum of the meter period whose last bin is the one before end.
func (h *history) periodSumBefore(end int64) float64 {
	from := max(end-binsPerPeriod-1, h.lastBin-historyBins+1)
	return h.sums[h.index(max(end-1, from))] - h.sums[h.index(from)]
}

// save returns the bins whose amount is not zero as pairs of number and amount.
func (h *history) save() [][2]float64 {
	var saved [][2]float64
	for b := h.lastBin - historyBins + 2; b <= h.lastBin; b++ {
		if amount := h.sums[h.index(b)] - h.sums[h.index(b-1)]; amount != 0 {
			saved = append(saved, [2]float64{float64(b), amount})
		}
	}
	return saved
}

// load restores into an empty history what save returned, and advances it to the bin last.
func (h *history) load(saved [][2]float64, last int64) {
	h.advance(last - historyBins)
	for _, entry := range saved {
		b := int64(entry[0])
		if b > h.lastBin-1 && b <= last && len(saved) <= historyBins {
			h.advance(b)
			h.add(entry[1])
		}
	}
	h.advance(last)
}
