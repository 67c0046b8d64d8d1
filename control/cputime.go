package control

import (
	"log/slog"
	"runtime/metrics"
	"syscall"
	"time"
)

// collectorMetric is the estimated processor time of the garbage collector. It is updated
// at the end of each collection.
const collectorMetric = "/cpu/classes/gc/total:cpu-seconds"

// cpuTime is processor time of this process. Beside the loop's activities it covers the
// sessions, connections, encoding and callers' requests.
type cpuTime struct {
	process, collector time.Duration
}

// readCPUTime returns the processor time since the start of the process. A part that can't
// be read is 0.
func readCPUTime() cpuTime {
	var t cpuTime
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		t.process = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	sample := []metrics.Sample{{Name: collectorMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindFloat64 {
		t.collector = time.Duration(sample[0].Value.Float64() * float64(time.Second))
	}
	return t
}

// since returns the time since an earlier reading.
func (t cpuTime) since(earlier cpuTime) cpuTime {
	return cpuTime{process: t.process - earlier.process, collector: t.collector - earlier.collector}
}

// LogValue implements slog.LogValuer.
func (t cpuTime) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("process_ms", t.process.Milliseconds()), slog.Int64("collector_ms", t.collector.Milliseconds()))
}
