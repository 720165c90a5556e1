package targetclient

import "google.golang.org/grpc"

// OnceDialOptions keep grpc-go from sending a call a second time by a retry
// policy, be it ours or one that a resolver brings. What remains are grpc's
// transparent retries, which happen only when the server never saw the call;
// the owner's record makes even those harmless.
func OnceDialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	}
}
