// Package experiment measures the admission decisions against naive ones,
// without network and with a fake clock.
//
// Engines are the state machines of package model, the same that the stand-in
// processes run. Callers, the way between the processes (fixed delays) and the
// engines' lagging reports are played by a small loop that steps one
// millisecond at a time. Every policy of a scenario meets the same arrivals,
// lengths and faults, drawn from the seed. What is printed is what callers
// receive: tokens, gaps, answers, refusals.
//
// It is a measuring tool for the decisions of one or two pools and no cluster
// simulator: entries, gossip, fail-over of allocators and the network's faults
// are not in it.
package experiment
