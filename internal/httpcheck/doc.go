// Package httpcheck checks HTTP/1 responses against RFC 9110 and RFC 9112.
//
// net/http accepts responses that these do not allow: any three digits are a status, a field
// name may hold blanks, and a Transfer-Encoding in HTTP/1.0 is deleted, so that the framing of
// the chunks becomes the body. Writing is stricter: http.ResponseWriter panics or drops a field.
// A process that passes responses on therefore checks them where they enter it. Transport does so
// on the bytes of a connection, before net/http has changed anything; Response checks one that
// was read elsewhere.
package httpcheck
