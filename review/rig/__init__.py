"""Stand-ins and process control for the cases of the second review; only aiohttp is needed beside Python."""
