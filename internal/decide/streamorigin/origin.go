// Package streamorigin decides where a stream of events may go on: only at targets of
// the service, and of the version of its software, that began it. What two versions
// write does not fit together, and targets do not check it.
//
// A host knows the origin of a stream that it relays. For one that a caller takes up in
// a later request, it is known from records that hosts keep for each other, or follows
// from the service having had one version all the time. The functions are pure.
package streamorigin

import "filbertdeck/internal/directory"

// Origin is the service and the version of its software that began a stream.
type Origin struct{ Service, Version string }

// Of returns the origin of a stream that a target began.
func Of(t directory.Target) *Origin { return &Origin{Service: t.Service, Version: t.Version} }

// Accepts reports whether a stream may go on at a target. A nil Origin is that of a
// stream that has not begun, which may run at any.
func (o *Origin) Accepts(t directory.Target) bool {
	return o == nil || t.Service == o.Service && t.Version == o.Version
}

// String returns the origin for logs and error messages.
func (o *Origin) String() string {
	if o == nil {
		return "none"
	}
	return o.Service + " " + o.Version
}
