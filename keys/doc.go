// Package keys defines the format of customers' keys.
//
// A key is ck_<key ID>_<secret>: the key ID is 8 random bytes as 16 lower-case
// hexadecimal digits, the secret is 32 random bytes as 43 characters of
// unpadded base64url. The system stores the SHA-256 of the whole key and looks
// it up by the key ID, which is public. Errors of this package never contain a
// key, and a Key formats itself without its secret.
package keys
