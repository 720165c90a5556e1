// Package adminapi implements the administration API over HTTP, for operators
// and for the external monitor. It is read-only: operators make changes in the
// table in the platform's configuration service. docs/openapi/admin.json
// describes the API; a test checks that the two agree.
package adminapi
