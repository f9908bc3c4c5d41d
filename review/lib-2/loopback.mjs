/** Loopback address of this run. Each run draws its own, so that runs at the same time do not share ports. */
const draw = () => 1 + Math.floor(Math.random() * 250)

export const LOOPBACK = `127.${draw()}.${draw()}.${draw()}`
