package process

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// readFigures reads the text form of Prometheus.
func readFigures(r io.Reader) (map[string]float64, error) {
	figures := map[string]float64{}
	in := bufio.NewScanner(r)
	for in.Scan() {
		line := in.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		at := strings.LastIndexByte(line, ' ')
		if at < 0 {
			return nil, fmt.Errorf("figure %q has no value", line)
		}
		value, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("figure %q: %w", line, err)
		}
		figures[line[:at]] = value
	}
	return figures, in.Err()
}

// quantile gives the smallest span that a part q of all are no longer than; 0 of none. It sorts all.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	i := int(math.Ceil(q*float64(len(all)))) - 1
	return all[max(0, min(i, len(all)-1))]
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
