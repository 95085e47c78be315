package kcwrouter

import (
	"math"
	"os"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwoverload"
)

// sampleInterval is the time between two samples of the router's load. Each costs a wake-up.
const sampleInterval = 100 * time.Millisecond

// excessSamples is the number of samples between two readings of the router's load relative to
// others, which passes over all upstreams.
const excessSamples = 5

// sampleLoad samples the router's load until the router's context ends.
func (r *Router) sampleLoad() {
	probe, err := newProbe()
	if err != nil {
		klog.ErrorS(err, "Load of the router is not sampled")
		return
	}
	defer probe.close()
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	excess := 0.0
	for n := 0; ; n++ {
		select {
		case <-timer.C:
		case <-r.ctx.Done():
			return
		}
		queue := probe.measure()
		now := time.Now()
		if n%excessSamples == 0 {
			excess = r.roster.Excess(int(r.reporter.routers.Load()))
		}
		r.recordSample(kcwoverload.Sample{
			At: now, Queue: queue, Processor: processorTime(), LinkLoad: r.link.Load(now), LinkDelay: r.link.Delay(now),
			// Bodies that clients are sending give way to others.
			Memory: float64(r.memory.Committed()) / float64(r.requestMemory()), Excess: excess,
		})
		timer.Reset(time.Until(r.overload.Due()))
	}
}

// probe measures how long what arrives waits until a goroutine handles it. A goroutine whose timer
// fires, or that yields, runs before most others, so that its own wait is shorter than theirs.
type probe struct {
	reader, writer *os.File
	// handled gets the time when each byte was handled.
	handled chan time.Time
}

// newProbe returns a probe. The error is that of creating a pipe.
func newProbe() (*probe, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &probe{reader: reader, writer: writer, handled: make(chan time.Time, 1)}
	go p.handle()
	return p, nil
}

// handle reads the bytes of the pipe as the server reads a request.
func (p *probe) handle() {
	var buffer [1]byte
	for {
		if _, err := p.reader.Read(buffer[:]); err != nil {
			close(p.handled)
			return
		}
		p.handled <- time.Now()
	}
}

// measure returns how long a byte waits that arrives now.
func (p *probe) measure() time.Duration {
	began := time.Now()
	if _, err := p.writer.Write([]byte{0}); err != nil {
		return 0 // The probe is closed.
	}
	handledAt, ok := <-p.handled
	if !ok {
		return 0
	}
	return handledAt.Sub(began)
}

// close ends the probe. Closing a pipe fails only if it is closed already.
func (p *probe) close() {
	_ = p.writer.Close()
	_ = p.reader.Close()
}

// recordSample records a sample and logs the change that it causes. Changes are at least some
// samples apart.
func (r *Router) recordSample(sample kcwoverload.Sample) {
	change := r.overload.Record(sample)
	if change == kcwoverload.Unchanged {
		return
	}
	state := r.overload.State()
	klog.InfoS("Router load changed", "Change", change.String(), "Queue", state.Queue.String(), "Lateness", state.Lateness.String(),
		"ProcessorUse", state.Use, "LinkLoad", sample.LinkLoad, "LinkDelay", sample.LinkDelay.String(), "MemoryUse", sample.Memory,
		"Limit", state.Limit, "Excess", state.Excess, "Overloaded", state.Refused, "InFlight", r.forwarder.InFlight())
}

// requestMemory returns the number of bytes that requests may hold.
func (r *Router) requestMemory() int64 {
	const megabyte = 1 << 20
	return int64(requestMemoryFraction * r.cfg.Settings.Host.MemoryMB * megabyte)
}

// processorTime returns the processor time that the process has used, negative if it can't be
// read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return -1
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// registerLoadMetrics registers the gauges of the router's own load.
func (r *Router) registerLoadMetrics() {
	r.meter.Gauge("kcw_router_processor_queue", "Time that requests wait for the processor, in milliseconds.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.overload.State().Queue.Milliseconds()) })
	r.meter.Gauge("kcw_router_lateness", "How late the router's own timers are, in milliseconds.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.overload.State().Lateness.Milliseconds()) })
	r.meter.Gauge("kcw_router_processor_use", "Used part of the processor share, in percent; 0 if the share is not known.",
		func(observe func(int64, ...attribute.KeyValue)) {
			const percent = 100
			observe(int64(percent * r.overload.State().Use))
		})
	r.meter.Gauge("kcw_router_admission_limit", "Requests that are admitted per second because of overload; 0 if there is no limit.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(int64(math.Ceil(r.overload.State().Limit))) })
	r.meter.Gauge("kcw_router_overload_refusals", "Requests refused since the start because of overload.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.overload.State().Refused) })
}
