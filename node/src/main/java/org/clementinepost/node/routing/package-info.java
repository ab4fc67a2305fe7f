/** The service that chooses a backend server for each attempt. */
package org.clementinepost.node.routing;
