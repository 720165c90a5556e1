// Package fleet starts a small deployment on this machine, for the demo, the
// load tool and the tests: stand-ins for the platform and the targets, and the
// entry and control processes of each host, all as processes of their own on
// free loopback ports. It ends only what it started, by process id. No process
// of the system itself starts another one; this package is not part of them.
package fleet
