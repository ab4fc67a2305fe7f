/** The HTTP server from which operators read health, readiness, status and metrics. */
package org.clementinepost.node.operator;
