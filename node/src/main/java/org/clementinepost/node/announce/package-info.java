/** Discovers the backend servers on this VM by announcements and by a startup health check. */
package org.clementinepost.node.announce;
