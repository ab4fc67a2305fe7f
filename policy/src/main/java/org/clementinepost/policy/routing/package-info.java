/** Which backend server an ingress node sends a request to, and whether it tries again. */
package org.clementinepost.policy.routing;
