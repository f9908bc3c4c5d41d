// Preloaded into node processes: shifts Date.now() by the offset that the soak sends over IPC.
const now = Date.now.bind(Date)
let offset = 0
process.on('message', ({ offsetMs }) => { offset = offsetMs })
process.channel?.unref()
Date.now = () => now() + offset
