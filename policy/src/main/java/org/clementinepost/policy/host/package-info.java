/** Decides which requests a node admits to the backend servers of its own VM. */
package org.clementinepost.policy.host;
