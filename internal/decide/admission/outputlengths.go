package admission

import "filbertdeck/internal/decide/outputlength"

// outputLengthModel learns the distribution of output lengths, per service and
// over all services.
//
// Services with long and with short outputs can share engines. Predicted from a
// common distribution, a short output appears likely to grow by thousands of
// tokens and a long one to end soon, so that engines run half empty or run out
// of memory during decoding.
type outputLengthModel struct {
	all       *outputlength.Distribution
	byService map[string]*outputlength.Distribution
}

func newOutputLengthModel() outputLengthModel {
	return outputLengthModel{all: outputlength.New(0), byService: map[string]*outputlength.Distribution{}}
}

// forService returns a service's distribution. The distribution over all
// services is used when the service is unknown, as for requests that a previous
// owner granted.
func (o *outputLengthModel) forService(service string) *outputlength.Distribution {
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

func (o *outputLengthModel) refresh() {
	o.all.Refresh()
	for _, d := range o.byService {
		d.Refresh()
	}
}

// recordProgress records that an output grew from one length to another without
// ending.
func (o *outputLengthModel) recordProgress(service string, from, to int) {
	o.all.RecordProgress(from, to)
	if service != "" {
		o.forService(service).RecordProgress(from, to)
	}
}

// recordFinished records the length of an output that ended by itself.
func (o *outputLengthModel) recordFinished(service string, produced int) {
	o.all.RecordFinished(produced)
	if service != "" {
		o.forService(service).RecordFinished(produced)
	}
}
