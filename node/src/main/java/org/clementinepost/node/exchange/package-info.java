/** The exchange of a request and a response with a local backend server. */
package org.clementinepost.node.exchange;
