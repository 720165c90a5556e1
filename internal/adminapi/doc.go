// Package adminapi is the administration API over HTTP, for operators and for
// the outside monitor. It only reads: what operators change, they change in
// the table under the platform's configuration. docs/openapi/admin.json
// describes it, and a test holds the two together.
package adminapi
