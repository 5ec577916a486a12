// The part of the HTTP client that a host on the users' platform needs.
module.exports = {Pool: require('undici/lib/dispatcher/pool.js')};
