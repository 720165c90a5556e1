package admission

import "filbertdeck/internal/decide/outputlength"

// outputs learns how long outputs get, for each service by itself and for all
// together.
//
// Load pattern: long reports and short summaries share engines. Predicted from
// one distribution, a summary looks as if it might grow for thousands of
// tokens, and a report as if it would soon end: engines stand half empty, or
// fill up in mid-decode.
type outputs struct {
	all       *outputlength.Distribution
	byService map[string]*outputlength.Distribution
}

func newOutputs() outputs {
	return outputs{all: outputlength.New(0), byService: map[string]*outputlength.Distribution{}}
}

// of gives a service's distribution; that of all stands for requests whose
// service is not known, such as those that a predecessor granted.
func (o *outputs) of(service string) *outputlength.Distribution {
	if service == "" {
		return o.all
	}
	d := o.byService[service]
	if d == nil {
		d = outputlength.New(0)
		o.byService[service] = d
	}
	return d
}

func (o *outputs) refresh() {
	o.all.Refresh()
	for _, d := range o.byService {
		d.Refresh()
	}
}

// progress notes that an output outlived a part of its growth.
func (o *outputs) progress(service string, from, to int) {
	o.all.RecordProgress(from, to)
	if service != "" {
		o.of(service).RecordProgress(from, to)
	}
}

// finished notes the length of an output that ended by itself.
func (o *outputs) finished(service string, produced int) {
	o.all.RecordFinished(produced)
	if service != "" {
		o.of(service).RecordFinished(produced)
	}
}
