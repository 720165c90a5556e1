package targetclient

import "google.golang.org/grpc"

// AtMostOnceDialOptions disables grpc-go's retry policies, including those of a
// service config that a resolver returns. What remains are gRPC's transparent
// retries, which only happen when the server never processed the call; the
// owner's record of executed calls makes those harmless as well.
func AtMostOnceDialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	}
}
