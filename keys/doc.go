// Package keys defines the format of customers' keys.
//
// A key is ck_<key id>_<secret>: the key id is 8 random bytes as 16 lower-case
// hexadecimal digits, the secret is 32 random bytes as 43 characters of
// unpadded base64url. The system stores the SHA-256 of the whole key and finds
// it by the key id, which is public. The package never puts a key into an
// error, and a Key formats itself without its secret.
package keys
