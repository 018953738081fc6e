// The installation file of terntray. It holds the settings that are not in the platform file. Render it with
//   terntray-settings render deploy/terntray.jsonnet -o terntray.json
// and start with
//   terntray serve -installation terntray.json
// Without this file, all replicas are called with frames and without TLS, as on colombo-zonemap. docs/http2.md explains
// each value.
local http2(rule) = rule { dialect: 'http2' };

{
  // The first rule that matches a replica applies. Patterns are shell patterns (* ? [a-z]).
  replicas: [
    http2({ model: 'zone-h2*' }),
    { dialect: 'frames' },
  ],
  http2: {
    streams: 100,  // maximum number of concurrent attempts on a connection; the replica may set a lower limit
    connections: 1,  // connections to a replica that take new attempts
  },
}
