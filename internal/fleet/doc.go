// Package fleet runs a small deployment on the local machine for the demo, the
// load tool and the tests. It starts stand-ins for the platform and the
// targets and the entry and control processes of each host, each as a separate
// process on a free loopback port. It terminates only processes that it
// started, by process ID. The product's server processes start no other
// processes and do not use this package.
package fleet
