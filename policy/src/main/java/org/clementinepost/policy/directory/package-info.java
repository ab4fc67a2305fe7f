/**
 * The sharded endpoint directory: which nodes store the backend servers of a service, and which of
 * them each ingress node uses.
 */
package org.clementinepost.policy.directory;
