/** Authentication, authorization and routing of incoming requests to a service. */
package org.clementinepost.policy.access;
