/** HTTP header fields, statuses and paths that nodes agree on with callers and backend servers. */
package org.clementinepost.api.http;
