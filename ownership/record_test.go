package ownership

import (
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRecordsThatCannotBeRead(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := cellOf(3, 8)
	for name, spoil := range map[string]func(*Record){
		"newer format":   func(r *Record) { r.Format = RecordFormat + 1 },
		"unknown owner":  func(r *Record) { r.Owners[2] = 3 },
		"no such owner":  func(r *Record) { r.Owners[2] = -2 },
		"fences missing": func(r *Record) { r.Fences = r.Fences[1:] },
		"no slots":       func(r *Record) { r.Owners, r.Fences = nil, nil },
	} {
		r := whole.Clone()
		spoil(r)
		_, err := Decode(r.Encode())
		g.Expect(err).To(gomega.BeAssignableToTypeOf(&FormatError{}), name)
	}
	again, err := Decode(whole.Encode())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(again).To(gomega.Equal(whole))
}

// A value that was cut or damaged anywhere gives a typed error or a record, and no panic.
func TestDamagedRecordsDoNotPanic(t *testing.T) {
	data := cellOf(3, 8).Encode()
	rapid.Check(t, func(t *rapid.T) {
		damaged := append([]byte(nil), data[:rapid.IntRange(0, len(data)).Draw(t, "cut")]...)
		if len(damaged) > 0 {
			damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		if r, err := Decode(damaged); err == nil {
			r.SlotsOf(Ref{})
			r.Owner(0)
		}
	})
}
