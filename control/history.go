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

// currentBin returns the number of the present currentBin.
func (e *environment) currentBin() int64 { return int64(e.now / e.binLength()) }

// history holds running sums of an amount by bin, for the last historyBins bins.
type history struct {
	lastBin int64
	sums    [historyBins]float64 // up to the end of a bin
}

// advance begins the bins up to b.
func (h *history) advance(b int64) {
	sum := h.sums[h.index(h.lastBin)]
	for i := max(h.lastBin+1, b-historyBins+1); i <= b; i++ {
		h.sums[h.index(i)] = sum
	}
	h.lastBin = max(h.lastBin, b)
}

func (h *history) index(b int64) int64 { return (b%historyBins + historyBins) % historyBins }

// add adds an amount in the last bin.
func (h *history) add(amount float64) { h.sums[h.index(h.lastBin)] += amount }

// periodSumBefore returns the amount of the meter period that ends before a bin.
func (h *history) periodSumBefore(end int64) float64 {
	from := max(end-binsPerPeriod-1, h.lastBin-historyBins+1)
	return h.sums[h.index(max(end-1, from))] - h.sums[h.index(from)]
}

// save returns the bins with an amount, each with its number.
func (h *history) save() [][2]float64 {
	var saved [][2]float64
	for b := h.lastBin - historyBins + 2; b <= h.lastBin; b++ {
		if amount := h.sums[h.index(b)] - h.sums[h.index(b-1)]; amount != 0 {
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
		if b > h.lastBin-1 && b <= last && len(saved) <= historyBins {
			h.advance(b)
			h.add(entry[1])
		}
	}
	h.advance(last)
}
