/** The task that chooses backend servers. */
package org.clementinepost.node.routing;
