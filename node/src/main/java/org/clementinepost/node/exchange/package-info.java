/** One request sent to one backend server, and its answer. */
package org.clementinepost.node.exchange;
