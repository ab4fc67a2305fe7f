/** Endpoint choice, outlier detection, ejection and retries at the ingress. */
package org.clementinepost.policy.routing;
