/** Which nodes hold a service's backend servers, and which of them each ingress node uses. */
package org.clementinepost.policy.directory;
