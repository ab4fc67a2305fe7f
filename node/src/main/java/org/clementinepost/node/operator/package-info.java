/** The port on which operators read health, readiness, status and metrics. */
package org.clementinepost.node.operator;
