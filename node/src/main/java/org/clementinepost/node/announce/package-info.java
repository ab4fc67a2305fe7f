/** Learns of the backend servers of this VM: from announcements and a startup health check. */
package org.clementinepost.node.announce;
