package gateway_test

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

// restorableFleet is three hosts that share a store, which can be restored from
// a copy.
type restorableFleet struct {
	*environment
	hosts []*host
	// version is that of the configuration last published.
	version int
	// heldRevision is the store's revision before the restore.
	heldRevision uint64
	copied       standin.Copy
	restoredAt   time.Time
}

const fleetSize = 3

func startRestorableFleet(prepare func(*environment)) *restorableFleet {
	f := &restorableFleet{environment: newEnvironment(), version: 1}
	prepare(f.environment)
	store := serveStore(f.store)
	f.hosts = []*host{startHost(store)}
	for len(f.hosts) < fleetSize {
		f.hosts = append(f.hosts, startHost(store, f.hosts[0].peerAddress))
	}
	for _, h := range f.hosts {
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
	}
	return f
}

// moveTarget lists the target of the environment in a zone of its own. Hosts
// prefer targets of their own zone to all others.
func (env *environment) moveTarget() {
	env.store.PutServerIn("z-d", "i-1", "app", hostPort(env.target), "ready")
}

// key returns the API key of a configuration version.
func key(version int) string { return fmt.Sprint("key-", version) }

// publish publishes the next configuration version, whose only key is its own.
func (f *restorableFleet) publish() {
	f.version++
	f.publishKeys(f.version, key(f.version))
}

// awaitVersion waits until all hosts serve the published configuration.
func (f *restorableFleet) awaitVersion() {
	for _, h := range f.hosts {
		Eventually(func() int { return h.post("/b/x", key(f.version)) }, stepTimeout).Should(Equal(http.StatusOK))
	}
}

// lose takes the store's copy, makes changes that the copy lacks, and waits
// until all hosts serve by them.
func (f *restorableFleet) lose(changes func()) {
	f.copied = f.store.TakeCopy()
	changes()
	for range 3 {
		f.publish()
	}
	f.awaitVersion()
	f.heldRevision = f.store.Revision()
}

// restore restores the store from the copy.
func (f *restorableFleet) restore() {
	f.restoredAt = time.Now()
	f.store.Restore(f.copied)
}

// passHeldRevision makes changes of no consequence until the store's revision
// is past those that the hosts held before the restore.
func (f *restorableFleet) passHeldRevision() {
	for f.store.Revision() <= f.heldRevision {
		f.store.Put("op/other", "{}")
	}
}

// reaches reports whether requests to a host reach a target.
func (f *restorableFleet) reaches(h *host, target *countingTarget) bool {
	before := target.requests.Load()
	for range 20 {
		Expect(h.post("/b/x", key(f.version))).To(Equal(http.StatusOK))
	}
	return target.requests.Load() > before
}

// expectEach waits until requests to each host reach a target, or until none
// does.
func (f *restorableFleet) expectEach(target *countingTarget, reached bool) {
	for _, h := range f.hosts {
		Eventually(func() bool { return f.reaches(h, target) }, stepTimeout).Should(Equal(reached))
	}
}

var _ = Describe("hosts whose store is restored from a copy", func() {
	// Guards against a configuration that is taken for old because the store
	// gives its revision out again.
	DescribeTable("apply a configuration that is written after it", func(write func(*restorableFleet)) {
		f := startRestorableFleet(func(*environment) {})
		f.lose(func() {})
		f.restore()
		write(f)
		f.publish()
		f.awaitVersion()
		Expect(f.hosts[0].post("/b/x", key(f.version-1))).To(Equal(http.StatusUnauthorized))
	},
		Entry("at a revision below those held", func(*restorableFleet) {}),
		Entry("at the revision of another one", func(f *restorableFleet) {
			for f.store.Revision()+1 < f.heldRevision {
				f.store.Put("op/other", "{}")
			}
		}),
		Entry("below the revision held when the store answers again", func(f *restorableFleet) {
			f.store.SetMode(standin.Resetting)
			f.publish()
			f.passHeldRevision()
			f.store.SetMode(standin.Serving)
		}),
		Entry("and after a second restore", func(f *restorableFleet) {
			f.publish()
			f.store.Restore(f.copied)
		}),
		Entry("while one host was paused", func(f *restorableFleet) {
			Expect(f.hosts[1].cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed())
			f.publish()
			Eventually(func() int { return f.hosts[0].post("/b/x", key(f.version)) }, stepTimeout).Should(Equal(http.StatusOK))
			Expect(f.hosts[1].cmd.Process.Signal(syscall.SIGCONT)).To(Succeed())
		}),
	)

	// Guards against a host that the store refuses and that peers with other
	// revisions tell nothing.
	It("tell a host that the store refuses", func() {
		f := &restorableFleet{environment: newEnvironment(), version: 1}
		refusing, disconnect := startDisconnectableStore(f.store)
		store := serveStore(f.store)
		f.hosts = []*host{startHost(store)}
		f.hosts = append(f.hosts, startHost(store, f.hosts[0].peerAddress), startHost(refusing, f.hosts[0].peerAddress))
		for _, h := range f.hosts {
			Eventually(h.isReady, stepTimeout).Should(BeTrue())
		}
		f.lose(func() {})
		disconnect()
		f.restore()
		f.publish()
		f.awaitVersion()
	})

	// Guards against requests to a target whose leaving is taken for old.
	It("send nothing to a target that leaves at a lower revision", func() {
		leaving := startCountingTarget("")
		put := func(env *environment, state string) {
			env.store.PutServer("i-2", "app", hostPort(leaving.Server), state)
		}
		f := startRestorableFleet(func(env *environment) { put(env, "ready") })
		f.lose(func() { put(f.environment, "ready") })
		f.expectEach(leaving, true)
		f.restore()
		put(f.environment, "draining")
		f.expectEach(leaving, false)
	})

	// Guards against targets that stay without requests until the store's
	// revision has passed those held.
	It("send requests to a target that starts at a lower revision", func() {
		started := startCountingTarget("")
		f := startRestorableFleet(func(*environment) {})
		f.lose(func() {})
		f.restore()
		f.store.PutServer("i-2", "app", hostPort(started.Server), "ready")
		f.expectEach(started, true)
	})

	// Guards against requests to a target that ended while the store lacked its
	// entry.
	It("give up a target whose entry the copy lacks and that does not write it again", func() {
		lost := startCountingTarget("")
		f := startRestorableFleet(func(*environment) {})
		f.lose(func() { f.store.PutServer("i-2", "app", hostPort(lost.Server), "ready") })
		f.expectEach(lost, true)
		f.restore()
		f.expectEach(lost, false)
	})

	// Guards against a data centre whose draining, or its end, is taken for old.
	DescribeTable("follow an operator who drains or frees a data centre at a lower revision", func(drained bool) {
		target := startCountingTarget("")
		set := func(env *environment, drained bool) {
			if drained {
				env.store.DrainZone("z-b")
			} else {
				env.store.FreeZone("z-b")
			}
		}
		f := startRestorableFleet(func(env *environment) {
			env.moveTarget()
			env.store.PutServerIn("z-b", "i-2", "app", hostPort(target.Server), "ready")
			set(env, !drained)
		})
		f.lose(func() { set(f.environment, !drained) })
		f.expectEach(target, drained)
		f.restore()
		set(f.environment, drained)
		f.expectEach(target, !drained)
	}, Entry("drains it", true), Entry("frees it", false))

	// Guards against a store that is called in a loop because it lacks the
	// revision that hosts hold, and against all hosts reading it whole.
	It("read it whole a few times and not in a loop", func() {
		const maxReads, maxGone = 12, fleetSize
		f := startRestorableFleet(func(*environment) {})
		f.lose(func() {})
		readsBefore, goneBefore := f.store.CallCounts()
		f.restore()
		time.Sleep(5 * time.Second)
		reads, gone := f.store.CallCounts()
		Expect(reads - readsBefore).To(BeNumerically("<=", maxReads))
		Expect(gone - goneBefore).To(BeNumerically("<=", maxGone))
	})

	// Guards against a copy that wins over what hosts know from later changes.
	It("bring back nothing that the copy has and they know to be over", func() {
		left, leaving, drained, freed := startCountingTarget(""), startCountingTarget(""), startCountingTarget(""), startCountingTarget("")
		f := startRestorableFleet(func(env *environment) {
			env.moveTarget()
			env.store.PutServerIn("z-d", "i-2", "app", hostPort(left.Server), "ready")
			env.store.PutServerIn("z-d", "i-3", "app", hostPort(leaving.Server), "ready")
			env.store.PutServerIn("z-b", "i-4", "app", hostPort(drained.Server), "ready")
			env.store.PutServerIn("z-c", "i-5", "app", hostPort(freed.Server), "ready")
			env.store.DrainZone("z-c")
		})
		f.lose(func() {
			f.store.RemoveServer("i-2")
			f.store.PutServerIn("z-d", "i-3", "app", hostPort(leaving.Server), "draining")
			f.store.DrainZone("z-b")
			f.store.FreeZone("z-c")
		})
		lostKey, copiedKey := key(f.version), key(1)
		f.expectEach(freed, true)
		f.restore()
		for _, h := range f.hosts {
			Expect(h.post("/b/x", copiedKey)).To(Equal(http.StatusUnauthorized))
			Expect(h.post("/b/x", lostKey)).To(Equal(http.StatusOK))
		}
		f.passHeldRevision()
		f.publish()
		f.awaitVersion()
		for _, h := range f.hosts {
			Expect(f.reaches(h, leaving)).To(BeFalse())
			Expect(f.reaches(h, left)).To(BeFalse())
			Expect(f.reaches(h, drained)).To(BeFalse())
			Expect(f.reaches(h, freed)).To(BeTrue())
		}
	})

	// Guards against a new host that serves the copy's configuration although
	// its peers know a later one.
	It("give a host that starts the configuration that the copy lacks", func() {
		f := startRestorableFleet(func(*environment) {})
		f.lose(func() {})
		f.restore()
		started := startReplacement(serveStore(f.store), f.hosts[0].peerAddress)
		served := 0
		Eventually(func() int {
			Expect(started.post("/b/x", key(1))).NotTo(Equal(http.StatusOK))
			status := started.post("/b/x", key(f.version))
			Expect(status).NotTo(Equal(http.StatusUnauthorized))
			if status == http.StatusOK {
				served++
			}
			return served
		}, stepTimeout).Should(BeNumerically(">=", 20))
	})
})
