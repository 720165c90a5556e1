package contention

// Mode says for which services a part of the scheduling takes effect. Its values are
// those of the settings.
type Mode string

const (
	// Auto applies it to services whose configuration calls for it.
	Auto Mode = "auto"
	// Always applies it to all services whose generations have objectives.
	Always Mode = "on"
	// Never turns it off, as does the empty mode.
	Never Mode = "off"
)

// On reports whether the part takes effect for a service with the given policy.
func (m Mode) On(p Policy) bool {
	switch m {
	case Always:
		return p.MostUrgentObjective > 0
	case Auto:
		return p.Active
	}
	return false
}
