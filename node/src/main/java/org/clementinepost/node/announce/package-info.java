/** Where backend servers announce themselves. */
package org.clementinepost.node.announce;
