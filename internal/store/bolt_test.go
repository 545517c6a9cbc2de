package store

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

var boltBucket = []byte("tenants")

// putTenants writes the records of count out of n tenants.
func putTenants(db *bbolt.DB, from, count, n int) error {
	return db.Update(func(tx *bbolt.Tx) error {
		t, err := tx.CreateBucketIfNotExists(boltBucket)
		if err != nil {
			return err
		}
		for i := range count {
			var v [40]byte
			binary.BigEndian.PutUint64(v[:], uint64(from+i))
			if err := t.Put(fmt.Appendf(nil, "business %016x", (from+i*7919)%n), v[:]); err != nil {
				return err
			}
		}
		return nil
	})
}

// BenchmarkBolt measures the alternative to the state file: a database of pages, in which a write changes only the
// records that have changed. BenchmarkWrite measures the state file.
func BenchmarkBolt(b *testing.B) {
	const changed = 20 // records per write
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n, " tenants"), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "state.db")
			db, err := bbolt.Open(path, 0o600, nil)
			if err != nil {
				b.Fatal(err)
			}
			if err := putTenants(db, 0, n, n); err != nil {
				b.Fatal(err)
			}
			before := db.Stats().TxStats
			writes := 0
			for b.Loop() {
				if err := putTenants(db, writes, changed, n); err != nil {
					b.Fatal(err)
				}
				writes++
			}
			after := db.Stats().TxStats
			b.ReportMetric(float64(after.GetWrite()-before.GetWrite())/float64(writes)*4096, "bytes/state")
			if err := db.Close(); err != nil {
				b.Fatal(err)
			}
			openedAt := time.Now()
			if db, err = bbolt.Open(path, 0o600, nil); err != nil {
				b.Fatal(err)
			}
			err = db.View(func(tx *bbolt.Tx) error {
				return tx.Bucket(boltBucket).ForEach(func(_, _ []byte) error { return nil })
			})
			b.ReportMetric(float64(time.Since(openedAt).Microseconds())/1000, "ms/open")
			if err != nil {
				b.Fatal(err)
			}
			_ = db.Close()
		})
	}
}
