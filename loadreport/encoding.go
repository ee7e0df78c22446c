package loadreport

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/catkinspring/catkinspring/advisory"
	"github.com/catkinspring/catkinspring/hedge"
)

// List is a list of reports. Its encoding takes reportSize bytes per report.
type List []Report

const (
	// reportSize is the size of an encoded report in bytes: 8 for the upstream, 2 each for
	// the load and the slowdown in percent, 1 for the age.
	reportSize = 13
	// ageUnit is the unit of encoded ages. The largest age, 2.55 s, is above MaxAge.
	ageUnit = 10 * time.Millisecond
	// maxPerMessage keeps a message within the size of a datagram.
	maxPerMessage = 64
	// sampleSize is the size of an encoded sample in bytes: 8 for the route, 1 each for the
	// bucket and the count.
	sampleSize = 10
	// maxSamples keeps a message within the size of a datagram.
	maxSamples = 80
)

// SizeError reports an encoded list whose size is not that of at most MaxEntries entries.
type SizeError struct {
	Size, EntrySize, MaxEntries int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%d bytes are not at most %d entries of %d bytes", e.Size, e.MaxEntries, e.EntrySize)
}

// checkSize returns a *SizeError if data is not the size of at most maxEntries entries.
func checkSize(data []byte, entrySize, maxEntries int) error {
	if len(data)%entrySize != 0 || len(data) > maxEntries*entrySize {
		return &SizeError{Size: len(data), EntrySize: entrySize, MaxEntries: maxEntries}
	}
	return nil
}

// MarshalBinary implements encoding.BinaryMarshaler. Ages are rounded up, so that a report
// never looks newer than it is. Values beyond the range of a field are encoded as the end
// of the range. It never fails.
func (l List) MarshalBinary() ([]byte, error) {
	out := make([]byte, 0, len(l)*reportSize)
	for _, r := range l {
		out = binary.LittleEndian.AppendUint64(out, uint64(r.Upstream))
		out = binary.LittleEndian.AppendUint16(out, uint16(min(max(0, r.Load), math.MaxUint16)))
		out = binary.LittleEndian.AppendUint16(out, encodedPercent(r.Slowdown))
		out = append(out, byte(min((max(0, r.Age)+ageUnit-1)/ageUnit, math.MaxUint8)))
	}
	return out, nil
}

// encodedPercent returns a slowdown in percent, at least 1 if it was stated.
func encodedPercent(slowdown float64) uint16 {
	if !(slowdown > 0) { // also true for NaN
		return 0
	}
	return uint16(min(max(1, math.Round(slowdown*100)), math.MaxUint16))
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It returns a *SizeError.
func (l *List) UnmarshalBinary(data []byte) error {
	if err := checkSize(data, reportSize, maxPerMessage); err != nil {
		return err
	}
	list := make(List, 0, len(data)/reportSize)
	for ; len(data) > 0; data = data[reportSize:] {
		list = append(list, Report{
			Upstream: advisory.Key(binary.LittleEndian.Uint64(data)),
			Load:     int(binary.LittleEndian.Uint16(data[8:])),
			Slowdown: float64(binary.LittleEndian.Uint16(data[10:])) / 100,
			Age:      time.Duration(data[12]) * ageUnit,
		})
	}
	*l = list
	return nil
}

// SampleList is a list of samples. Its encoding takes sampleSize bytes per sample.
type SampleList []hedge.Sample

// MarshalBinary implements encoding.BinaryMarshaler. It never fails.
func (l SampleList) MarshalBinary() ([]byte, error) {
	out := make([]byte, 0, len(l)*sampleSize)
	for _, s := range l {
		out = binary.LittleEndian.AppendUint64(out, s.Route)
		out = append(out, s.Bucket, s.Count)
	}
	return out, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. It returns a *SizeError.
func (l *SampleList) UnmarshalBinary(data []byte) error {
	if err := checkSize(data, sampleSize, maxSamples); err != nil {
		return err
	}
	list := make(SampleList, 0, len(data)/sampleSize)
	for ; len(data) > 0; data = data[sampleSize:] {
		list = append(list, hedge.Sample{Route: binary.LittleEndian.Uint64(data), Bucket: data[8], Count: data[9]})
	}
	*l = list
	return nil
}
