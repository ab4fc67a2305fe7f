/** Admits requests to the backend servers of this VM. */
package org.clementinepost.node.host;
