/** Small tables that nodes read whole and then follow change by change. */
package org.clementinepost.storage.rows;
