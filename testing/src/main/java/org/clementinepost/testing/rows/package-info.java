/** Stand-ins for a row store with a change feed and for backend servers that send heartbeats. */
package org.clementinepost.testing.rows;
