/** Stand-ins for backend servers, with draining, load shedding and gray failures. */
package org.clementinepost.testing.backend;
